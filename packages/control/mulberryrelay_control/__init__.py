"""The coordinator's side of the router.

Contains the platform plug-ins, the coordinator lease, the coordinator itself (server
membership, grants, placement and moves of key ranges) and the routing rules.
"""
