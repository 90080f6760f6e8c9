"""Services of a host: network I/O around the pure logic in ``decisions``."""
