"""Services: the I/O around the decisions."""
