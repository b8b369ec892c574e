package org.hickorypier.language;

/**
 * One token of a statement. Immutable.
 *
 * @param kind its kind
 * @param text its text, without quotes
 * @param column where it starts, counted in characters from 1
 */
record Token(TokenKind kind, String text, int column) {

  boolean is(String keyword) {
    return kind == TokenKind.WORD && text.equalsIgnoreCase(keyword);
  }

  boolean isSymbol(String symbol) {
    return kind == TokenKind.SYMBOL && text.equals(symbol);
  }

  boolean isName() {
    return kind == TokenKind.WORD || kind == TokenKind.QUOTED;
  }

  String describe() {
    return kind == TokenKind.END ? "the end" : "'" + text + "'";
  }
}
