"""How fast an engine works on one request while it runs others."""

# Prompt tokens that an engine reads in a millisecond.
READ_TOKENS_PER_MS = 147.0
# Time of one step, which makes a token for each running request.
STEP_MS = 1.08
# How much each running request lengthens a step.
STEP_MS_PER_REQUEST = 0.0377


def reading_ms(prompt_tokens: int) -> float:
    """Return the time in which an engine reads a prompt, in ms."""
    return prompt_tokens / READ_TOKENS_PER_MS


def slowdown(requests: float, prompt_tokens: int, output_tokens: int) -> float:
    """Return how much longer a request takes beside others like it.

    Explanation
    ===========

    Each step takes longer with each running request, and all wait while the
    prompt of one is read. In the time of one request each of the others is
    replaced by another one once, so as many prompts are read.

    Examples
    ========

    >>> round(slowdown(0, 1680, 256), 2)
    1.0
    >>> round(slowdown(12, 1680, 256), 2)
    1.88

    :param requests: how many others run on the engine
    :param prompt_tokens: tokens that have to be read for each
    :param output_tokens: tokens that each generates
    """
    reading = reading_ms(prompt_tokens)
    alone = output_tokens * STEP_MS + reading
    step = STEP_MS + requests * STEP_MS_PER_REQUEST
    return (output_tokens * step + (requests + 1) * reading) / alone
