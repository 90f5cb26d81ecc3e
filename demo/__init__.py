"""Demo of a whole fleet on one machine."""
