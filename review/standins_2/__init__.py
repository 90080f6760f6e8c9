"""Stand-ins for the scripts of the second review: platform, servers and callers."""
