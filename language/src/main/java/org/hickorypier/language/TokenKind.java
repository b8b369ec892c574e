package org.hickorypier.language;

/** The kinds of tokens. */
enum TokenKind {
  WORD,
  QUOTED,
  SYMBOL,
  END
}
