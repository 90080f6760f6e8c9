"""Stand-ins for the platform, the backends and the consumers of the cases."""
