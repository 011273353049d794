from magnoliawood.limits import retry_budget
from magnoliawood.programs import identity

OVERLOADED = 'overloaded'
LOST = 'upstream_unavailable'


def key(number):
    return identity.ProgramKey('red-clay', f'pour-{number}')


def count_allowed_retries(budget, code, programs=500):
    return sum(budget.try_spend('e', key(n), code) for n in range(programs))


def test_overload_budget_is_shared_by_all_programs():
    budget = retry_budget.TokenBucketBudget()
    assert (
        count_allowed_retries(budget, OVERLOADED)
        == retry_budget.OVERLOAD_BURST
    )
    assert budget.try_spend('other', key(999), OVERLOADED)


def test_overload_does_not_use_up_the_budget_of_lost_upstreams():
    budget = retry_budget.TokenBucketBudget()
    count_allowed_retries(budget, OVERLOADED)
    assert count_allowed_retries(budget, LOST) >= retry_budget.LOSS_BURST - 10


def test_retries_add_at_most_a_fifth_of_the_successes():
    budget = retry_budget.TokenBucketBudget()
    count_allowed_retries(budget, OVERLOADED)
    for number in range(100):
        budget.record_success('e', key(number))
        budget.try_spend('e', key(number), OVERLOADED)
    assert not budget.try_spend('e', key(1000), OVERLOADED)
    successes, retries = 0, 0
    for number in range(1000):
        budget.record_success('e', key(number))
        successes += 1
        retries += budget.try_spend('e', key(number), OVERLOADED)
    assert retries <= successes * retry_budget.DEPOSIT_PER_SUCCESS + 1


def test_each_program_has_a_separate_budget():
    budget = retry_budget.TokenBucketBudget()
    results = [budget.try_spend(f'e{n}', key(1), LOST) for n in range(20)]
    assert results.count(True) == retry_budget.PROGRAM_BURST
    assert budget.try_spend('e1', key(2), LOST)
