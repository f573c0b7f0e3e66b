Feature: A newcomer's first minute
  One command shows a request, a submission, a table change, a report and a
  stop going through real processes.

  Scenario: The quickstart shows every step
    When the quickstart runs
    Then it says that all of it was seen
