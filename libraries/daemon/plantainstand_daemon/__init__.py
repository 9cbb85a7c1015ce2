"""The plantainstandd daemon."""
