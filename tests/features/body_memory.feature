Feature: Memory for the bodies of requests

  Scenario Outline: <case>
    # Each case's docstring in tests/cases/body_memory.py states the failure
    # that it guards against.
    When the case "<case>" of "body_memory" is played

    Examples:
      | case |
      | long bodies wait in the order of their arrival |
      | short bodies never wait for long ones |
      | a body without memory in time is rejected at once |
      | memory is given back by callers that leave |
      | the longest body is served with little memory |
      | the answer to the longest body is not waited for |
      | without a limit all bodies are let in |
      | a body is held while an attempt may use it |
      | a body is written as its server reads it |
      | a body in chunks takes what it needs |
      | slow callers hold what they have sent |
      | a rejected caller gets the response |
      | a relay without memory declines |
      | a rejected body does not age the next request |
      | a burst of long bodies keeps to the memory |
