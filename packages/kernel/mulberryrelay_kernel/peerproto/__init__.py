"""Generated gRPC code of the messages between routers; see ``peer.proto``."""
