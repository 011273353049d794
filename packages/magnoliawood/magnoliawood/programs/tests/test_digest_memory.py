"""Memory that digests of long texts need, beside the texts."""

import tracemalloc

import pytest

from magnoliawood.programs import call as calls
from magnoliawood.programs import message as messages

MEGABYTE = 1024 * 1024
# The emoji makes each character take four bytes; the other characters take
# six in JSON.
TEXTS = ['x' * MEGABYTE + '\U0001f600', '\x7f' * MEGABYTE]


def peak_of(operation):
    tracemalloc.start()
    try:
        operation()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


# Guards against copies of a long text, four times its size and more, for each
# digest of it.
@pytest.mark.parametrize('text', TEXTS)
def test_digests_of_a_long_text_make_no_copy_of_it(text):
    conversation = [messages.Message('user', text)]
    request = calls.ModelRequest('m', conversation, 10)
    service = calls.ServiceRequest('s', 'o', text, True)
    operations = [
        lambda: messages.chain_digest('', conversation),
        lambda: calls.fingerprint(request),
        lambda: calls.fingerprint(service),
        lambda: calls.content_fingerprint('', request),
    ]
    for operation in operations:
        assert peak_of(operation) < MEGABYTE


# Digests are compared between processes of two releases.
def test_digests_are_those_of_the_whole_texts():
    text = 'x"\\\n\x7f\u00e9\u20ac\U0001f600' * 9000
    conversation = [messages.Message('user', text)]
    assert (
        messages.chain_digest('', conversation)
        == 'a358a3568918cdfd3c690974ef8a1f80'
    )
    assert (
        calls.fingerprint(calls.ModelRequest('m', conversation, 10))
        == '4296a2f4c426c0feac6e354633cb5b1a'
    )
