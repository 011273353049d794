import pytest

from magnoliawood.config import account as accounts
from magnoliawood.core import errors
from magnoliawood.platform import store
from magnoliawood_server.entry import configuration_cache

OPERATOR = accounts.hash_token('operator-token')


def make_cache():
    return configuration_cache.ConfigurationCache(None, OPERATOR)


def refusal(made, token):
    with pytest.raises(errors.MagnoliawoodError) as caught:
        made.authenticate(token)
    return caught.value


def test_no_token_is_wrong_before_the_configuration_was_read():
    error = refusal(make_cache(), 'caller-token')
    assert error.code == errors.ErrorCode.STORE_UNAVAILABLE
    assert error.retry_after is not None


def test_unknown_token_is_refused_afterwards():
    made = make_cache()
    made.apply_listing(3, store.Listing(3, []))
    error = refusal(made, 'caller-token')
    assert error.code == errors.ErrorCode.UNAUTHENTICATED


def test_operator_of_the_settings_is_known_from_the_start():
    account = make_cache().authenticate('operator-token')
    assert account.role is accounts.Role.OPERATOR
