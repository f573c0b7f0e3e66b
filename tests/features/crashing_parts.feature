Feature: A part of prompts that crashes servers is refused

  Scenario Outline: <case>
    # Each case's docstring in tests/cases states the failure that it guards
    # against.
    When the case "<case>" of "<group>" is played

    Examples: real processes
      | group          | case |
      | crashing_parts | a part that crashes servers is refused everywhere |
      | crashing_parts | a first part that crashes servers is refused |
      | crashing_parts | a part in requests sent at one time is refused |
      | crashing_parts | a part that crashes now and then is refused |
      | crashing_parts | a crash behind an answer without a mark counts |
      | crashing_parts | an outage of all servers refuses no part |
      | crashing_parts | a short session with a bad part keeps all promises |

    Examples: decisions of the core
      | group         | case |
      | suspect_parts | requests that share a part are refused by it |
      | suspect_parts | crashes seen by several daemons add up |
      | suspect_parts | completed runs of other daemons count |
      | suspect_parts | an outage of all servers blames no part |
      | suspect_parts | parts that are always together are refused together |
      | suspect_parts | two parts that crash servers at one time are found |
      | suspect_parts | a part that was sound before is found |
      | suspect_parts | the last part is never blamed |
      | suspect_parts | an error acquits no part |
      | suspect_parts | requests in flight are cancelled by their part |
      | suspect_parts | a request is not sent again after a possible third crash |
      | suspect_parts | daemons send again one after the other |
      | suspect_parts | views do not depend on the order of reports |
      | suspect_parts | parts remembered are bounded |
      | suspect_parts | a server that ends after an unmarked answer has crashed |
      | suspect_parts | a server that outlives an unmarked answer acquits its part |
      | suspect_parts | a server may have crashed until it outlives its answer |
      | suspect_parts | a response without a start time is no other process |
      | suspect_parts | a later answer shows that a server has outlived one |
      | suspect_parts | equal knowledge has equal digests |
      | suspect_parts | errors are no runs of other parts either |

    Examples: simulated fleets
      | group       | case |
      | part_fleets | a bad part is refused beside other faults |
      | part_fleets | outages refuse nobody |
      | part_fleets | long runs are not blamed for an outage |
      | part_fleets | a part on which one run in three crashes is refused |
      | part_fleets | two bad parts are refused |
      | part_fleets | a larger fleet refuses a bad part |
