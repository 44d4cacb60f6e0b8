"""Starts a small deployment and sends a read and a payment through each router."""

import sys
import urllib.error
import urllib.request

from standins.deployment import Deployment, Process

SETTINGS = {
    "tenant": "kwahu",
    "data_centres": ["accra-osu", "accra-tema", "accra-legon"],
    "routers": 2,
    "services": {
        "slotfinder": {
            "classes": ["listing"],
            "partitioned": True,
            "ranges": 64,
            "checks_grants": True,
        },
        "bookpay": {"classes": ["payment", "booking"]},
    },
}


def main() -> int:
    """Run the demo; return 0 if every request was executed, otherwise 1."""
    with Deployment(SETTINGS) as deployment:
        deployment.start_server("slotfinder-1", "slotfinder")
        deployment.start_server("slotfinder-2", "slotfinder")
        deployment.start_server("bookpay-1", "bookpay", "accra-legon")
        routers = [
            deployment.start_router("entry-1", "accra-osu"),
            deployment.start_router("entry-2", "accra-tema"),
        ]
        succeeded = [send_requests(router) for router in routers]
    return 0 if all(succeeded) else 1


def send_requests(router: Process) -> bool:
    """Send a read and a payment to a router; return whether both were executed."""
    read = urllib.request.Request(
        router.url("caller_port") + "/slotfinder/slots?day=monday",
        headers={"Mulberry-Key": "trainer-17"},
    )
    payment = urllib.request.Request(
        router.url("caller_port") + "/bookpay/payments",
        data=b'{"client": "ama", "cedis": 120}',
        headers={
            "Mulberry-Class": "payment",
            "Idempotency-Key": f"demo-{router.name}",
        },
    )
    return all([send_request(router, read), send_request(router, payment)])


def send_request(router: Process, request: urllib.request.Request) -> bool:
    """Send one request and print its response; return whether it was executed."""
    try:
        with urllib.request.urlopen(request, timeout=10) as response:
            body = response.read().decode()
            owner = response.headers["Mulberry-Owner"]
            outcome = response.headers["Mulberry-Outcome"]
    except urllib.error.HTTPError as error:
        print(f"{router.name}: {request.selector}: {error}: {error.read()!r}")
        return False
    print(
        f"{router.name}: {request.get_method()} {request.selector}"
        f" owner={owner} outcome={outcome} answer={body!r}"
    )
    return bool(outcome == "ran")


if __name__ == "__main__":
    sys.exit(main())
