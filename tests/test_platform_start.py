"""The program that starts an edge router on the users' platform."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
RENDER = """
import start
start.add_package_paths()
start.import_main()
from mulberryrelay_edge.monitoring import render_metrics
from mulberryrelay_kernel.ids import Tenant
from mulberryrelay_kernel.metrics import Metrics
print(render_metrics(Metrics(Tenant("")), lambda: {"waiting": 3.0}).decode())
"""


def test_metrics_are_rendered_in_a_process_that_was_started_without_tls() -> None:
    """Guards against a metrics page that fails because a library needs ``ssl``."""
    result = subprocess.run(
        [sys.executable, "-c", RENDER],
        cwd=ROOT / "platform",
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == 0, result.stderr
    assert "mulberryrelay_waiting 3.0" in result.stdout
