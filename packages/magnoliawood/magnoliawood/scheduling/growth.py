"""Estimate of the final prompt length for each class of work."""

# Factor by which the estimate falls at each recorded prompt.
_DECAY = 0.99


class PromptGrowth:
    """Decaying maximum of the prompt lengths of each class.

    Explanation
    ===========

    Programs in progress show how far their class grows before the first of
    them ends. The decay removes the influence of programs that ended long
    ago.

    Examples
    ========

    >>> growth = PromptGrowth()
    >>> growth.record_prompt_length('chat', 1_000)
    >>> growth.record_prompt_length('chat', 100)
    >>> growth.expected_tokens('chat')
    990
    >>> growth.expected_tokens('ping')
    0
    """

    def __init__(self) -> None:
        self._tokens: dict[str, float] = {}

    def record_prompt_length(
        self, work_class: str, prompt_tokens: int
    ) -> None:
        """Update the estimate of a class with the length of a prompt."""
        decayed = self._tokens.get(work_class, 0.0) * _DECAY
        self._tokens[work_class] = max(decayed, float(prompt_tokens))

    def expected_tokens(self, work_class: str) -> int:
        """Return the expected final prompt length, 0 for an unknown class."""
        return int(self._tokens.get(work_class, 0.0))
