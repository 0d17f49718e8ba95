"""Runs a stand-in's web application on one address."""

import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart_trio import QuartTrio


async def serve_app(app: QuartTrio, address: str) -> None:
    """Serves until cancelled, without draining."""
    config = Config()
    config.bind = [address]
    config.errorlog = None
    config.keep_alive_timeout = 600
    await serve(
        app,
        config,
        shutdown_trigger=trio.sleep_forever,
    )
