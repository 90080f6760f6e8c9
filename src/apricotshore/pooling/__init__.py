"""Serving callers over shared connections to backend servers."""
