"""Small stand-ins for the platform: fabric, link, backend servers and callers."""
