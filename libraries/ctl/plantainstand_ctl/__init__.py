"""The plantainstandctl command-line tool for operators."""
