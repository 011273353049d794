import pytest

from magnoliawood.config import account as accounts
from magnoliawood.core import errors
from magnoliawood.platform import store
from magnoliawood_server.entry import configuration_cache

OPERATOR = accounts.hash_token('operator-token')


def make_cache():
    return configuration_cache.ConfigurationCache(None, OPERATOR)


def authentication_error(cache, token):
    with pytest.raises(errors.MagnoliawoodError) as error_info:
        cache.authenticate(token)
    return error_info.value


def test_unknown_token_gets_store_unavailable_before_the_first_read():
    error = authentication_error(make_cache(), 'caller-token')
    assert error.code == errors.ErrorCode.STORE_UNAVAILABLE
    assert error.retry_after is not None


def test_unknown_token_is_unauthenticated_after_the_first_read():
    cache = make_cache()
    cache.apply_listing(3, store.Listing(3, []))
    error = authentication_error(cache, 'caller-token')
    assert error.code == errors.ErrorCode.UNAUTHENTICATED


def test_operator_of_the_settings_is_valid_before_the_first_read():
    account = make_cache().authenticate('operator-token')
    assert account.role is accounts.Role.OPERATOR
