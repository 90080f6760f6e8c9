"""Pooling proxy: serves callers over shared connections to backend servers."""
