package org.hickorypier.language;

import java.util.ArrayList;
import java.util.List;

/**
 * Splits a statement into tokens. Not thread safe: made for one text.
 *
 * <p>A word is made of letters, digits and {@value #WORD_MARKS}. A quoted name stands in single or
 * double quotes, and its own quote is written twice. {@code #} starts a comment.
 */
final class Lexer {

  static final String WORD_MARKS = "_-.:@+~";

  private static final String SYMBOLS = "=<>/,";
  private static final char COMMENT = '#';

  private final String text;
  private final List<Token> tokens = new ArrayList<>();
  private int position;

  Lexer(String text) {
    this.text = text;
  }

  static boolean isWordCharacter(int character) {
    return Character.isLetterOrDigit(character) || WORD_MARKS.indexOf(character) >= 0;
  }

  List<Token> tokens() throws StatementSyntaxException {
    skipBlanks();
    while (position < text.length() && text.charAt(position) != COMMENT) {
      readToken();
      skipBlanks();
    }
    tokens.add(new Token(TokenKind.END, "", column(position)));
    return List.copyOf(tokens);
  }

  private void skipBlanks() {
    while (position < text.length() && Character.isWhitespace(text.charAt(position))) {
      position++;
    }
  }

  private void readToken() throws StatementSyntaxException {
    int character = text.codePointAt(position);
    if (isWordCharacter(character)) {
      readWord();
    } else if (character == '\'' || character == '"') {
      readQuoted((char) character);
    } else if (text.startsWith("!=", position)) {
      addSymbol(2);
    } else if (SYMBOLS.indexOf(character) >= 0) {
      addSymbol(isTwoCharacterSymbol() ? 2 : 1);
    } else {
      String found = "'" + Character.toString(character) + "'";
      throw new StatementSyntaxException(
          column(position), "a word, a quoted name or one of = != < <= > >= / ,", found);
    }
  }

  private boolean isTwoCharacterSymbol() {
    return text.startsWith("<=", position) || text.startsWith(">=", position);
  }

  private void addSymbol(int length) {
    String symbol = text.substring(position, position + length);
    tokens.add(new Token(TokenKind.SYMBOL, symbol, column(position)));
    position += length;
  }

  private void readWord() {
    int start = position;
    while (position < text.length() && isWordCharacter(text.codePointAt(position))) {
      position += Character.charCount(text.codePointAt(position));
    }
    tokens.add(new Token(TokenKind.WORD, text.substring(start, position), column(start)));
  }

  private void readQuoted(char quote) throws StatementSyntaxException {
    final int start = position;
    StringBuilder name = new StringBuilder();
    position++;
    while (!atClosing(quote)) {
      char character = text.charAt(position);
      checkNotControl(character);
      position += character == quote ? 2 : 1;
      name.append(character);
    }
    position++;
    if (name.isEmpty()) {
      throw new StatementSyntaxException(column(start), "a name between the quotes", "nothing");
    }
    tokens.add(new Token(TokenKind.QUOTED, name.toString(), column(start)));
  }

  private boolean atClosing(char quote) throws StatementSyntaxException {
    if (position >= text.length()) {
      throw new StatementSyntaxException(column(position), "a closing " + quote, "the end");
    }
    boolean doubled = position + 1 < text.length() && text.charAt(position + 1) == quote;
    return text.charAt(position) == quote && !doubled;
  }

  private void checkNotControl(char character) throws StatementSyntaxException {
    if (Character.isISOControl(character)) {
      throw new StatementSyntaxException(
          column(position), "a printable character", "a control character");
    }
  }

  private int column(int index) {
    return text.codePointCount(0, index) + 1;
  }
}
