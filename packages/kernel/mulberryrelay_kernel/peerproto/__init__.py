"""Generated gRPC code for the messages between routers; see ``peer.proto``."""
