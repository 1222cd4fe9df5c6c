"""Small fakes of the systems that crocusvalve serves."""
