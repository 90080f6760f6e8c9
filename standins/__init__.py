"""Small stand-ins for the systems that apricotshore meets in production."""
