"""Messages between hosts: Cap'n Proto schema and codec."""
