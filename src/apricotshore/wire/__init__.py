"""Messages between hosts: Cap'n Proto schema and its mapping to our types."""
