"""Router for platforms that publish routes and servers in their store.

A backend server on such a platform checks the fencing token of each command and refuses
requests for keys that it has no grant for. The routers therefore need neither routing
leases nor streams between each other.
"""
