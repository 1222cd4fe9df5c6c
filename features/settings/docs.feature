Feature: The pages name what the program has

  Scenario Outline: Every name of the program stands on its page
    Then docs/<page> names every <kind>

    Examples:
      | page                      | kind               |
      | API.md                    | error code         |
      | API.md                    | operators' route   |
      | operations/settings.md    | key of settings    |
      | operations/alarms.md      | metric             |
      | OPERATIONS.md             | metric of the gateway |
      | CLASSES.md                | class of the trial |

  Scenario: The command line has every command that the pages show
    Then every "crocusvalve" line of the pages is a command
