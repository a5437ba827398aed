"""A caller that sends an order, a lookup and a streamed completion.

Run it with ``python -m examples.caller URL,URL KEY``.
"""

import asyncio
import json
import sys

from buckthornstile import BuckthornstileError, CallerClient, Verdict


async def place_order(client: CallerClient, order: str) -> str:
    """Places an order, which runs at most once, and returns its outcome as text."""
    body = json.dumps({"order": order, "blades": 3}).encode()
    try:
        # The order's name is the idempotency key: a caller that restarts and sends the
        # order again gets the first response, and the order does not run twice.
        response = await client.call("/v1/orders", body, idempotency_key=order)
    except BuckthornstileError as error:
        if error.verdict is Verdict.NOT_RUN:
            return f"order {order} was not placed ({error.code.value}); send it again"
        return f"order {order} may have been placed ({error.code.value}); look it up"
    return f"order {order} was placed, status {response.status}"


async def look_up_order(client: CallerClient, order: str) -> str:
    """Looks up an order; a lookup is idempotent."""
    body = json.dumps({"order": order}).encode()
    response = await client.call(
        "/v1/orders/lookup", body, idempotent=True, timeout=5.0
    )
    return f"order {order} was looked up, status {response.status}"


async def stream_completion(client: CallerClient, prompt: str) -> str:
    """Streams a completion and returns its tokens, joined by spaces."""
    body = json.dumps({"prompt": prompt, "max_tokens": 8, "stream": True}).encode()
    tokens = []
    async for payload in client.stream("/v1/completions", body, idempotent=True):
        tokens.append(payload.decode())
    # A stream that breaks raises an error, so the response is complete here.
    return " ".join(tokens).strip()


async def main(entries: str, key: str) -> None:
    """Sends the three calls."""
    client = CallerClient(entries.split(","), key)
    print(await place_order(client, "blade-7"))
    print(await look_up_order(client, "blade-7"))
    print(await stream_completion(client, "how to set a ripping blade"))


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:3]))
