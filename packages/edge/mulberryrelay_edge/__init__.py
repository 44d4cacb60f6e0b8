"""Router for platforms that publish routes and servers in their store.

Servers there check the fence of each order and refuse requests for keys that they do
not hold, so routers need neither routing leases nor streams between each other.
"""
