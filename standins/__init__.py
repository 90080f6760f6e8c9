"""Stand-ins for the external systems that apricotshore works with in production."""
