"""The whole path on one computer, with a summary at the end."""
