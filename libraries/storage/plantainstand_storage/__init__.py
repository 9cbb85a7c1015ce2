"""Checksummed journal, snapshots and value files."""
