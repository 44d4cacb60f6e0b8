"""Runs real edge routers as processes, injects faults and checks the promises kept.

``python -m soak`` plays runs by their seeds. A run starts routers as separate processes
(``routers.py``), a store, backend servers and callers in its own process, and a proxy
on each link (``proxy.py``). A plan drawn from the seed (``plan.py``) says which
faults happen when (``injector.py``). What callers and servers observe is checked while
the run goes on (``checks.py``); the routers' logs are not looked at.
"""
