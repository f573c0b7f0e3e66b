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
