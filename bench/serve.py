"""The program of `make serve`: keeps one deployment running.

Writes a shell file with the variables that the walk-through in the README uses.
"""

import sys
from pathlib import Path

import fire
import trio

from bench.deployments import DEPLOYMENTS
from bench.fleet import Fleet, running_fleet


def describe_variables(fleet: Fleet) -> str:
    """Returns shell assignments for sending requests by hand."""
    deployment = fleet.deployment
    region = deployment.sites[0].region
    entries = fleet.entry_urls()
    variables = {
        'ENTRY': entries[0],
        'ENTRIES': ' '.join(entries),
        'KEY': deployment.key_of(region),
        'MODEL': deployment.model,
        'SERVICE': deployment.application,
        'CALL': deployment.call_path,
        'LOOK_UP': deployment.lookup_path,
    }
    return ''.join(f"{name}='{text}'\n" for name, text in variables.items())


async def serve(deployment_name: str) -> None:
    """Runs a deployment until it is interrupted."""
    folder = Path('out') / 'serve'
    deployment = DEPLOYMENTS[deployment_name]
    async with running_fleet(deployment, folder) as fleet:
        (folder / 'env.sh').write_text(describe_variables(fleet))
        sys.stdout.write(f'ready; variables are in {folder / "env.sh"}\n')
        sys.stdout.flush()
        await fleet.supervise()


def run(deployment: str = 'balkon') -> None:
    """Keeps a deployment running; Ctrl-C stops all its processes."""
    try:
        trio.run(serve, deployment)
    except KeyboardInterrupt:
        sys.stdout.write('stopped\n')


if __name__ == '__main__':
    fire.Fire(run)
