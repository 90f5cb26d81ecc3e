"""Stand-ins for the platform: fabric, links, backend servers and callers."""
