"""Generated gRPC code and the channel pool between plantainstand processes."""
