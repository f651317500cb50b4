package org.snipewick.transport.response;

import static java.util.Objects.requireNonNull;
import static org.snipewick.transport.response.MalformedResponseException.check;

import java.util.List;

/** Field lines of a head or a trailer, with the empty line at their end (RFC 9112, 5). */
final class FieldSection implements MessagePart {
  private final LineEnds lineEnds;
  private final List<FramingField> framingFields;
  private State state = State.LINE_START;
  private int nameLength;

  /** Framing fields whose names begin like the current one, as bits by their index. */
  private int candidates;

  /** Framing field of the current line, or null if it is another field. */
  private FramingField current;

  /**
   * Creates a section.
   *
   * @param lineEnds ends of the lines of the response
   * @param framingFields fields whose values are read; in a trailer none, as it frames no body
   */
  FieldSection(LineEnds lineEnds, List<FramingField> framingFields) {
    this.lineEnds = requireNonNull(lineEnds, "lineEnds");
    this.framingFields = List.copyOf(framingFields);
  }

  private enum State {
    LINE_START,
    NAME,
    VALUE,
    LINE_END,
    LAST_LINE_END,
    COMPLETE
  }

  @Override
  public boolean isComplete() {
    return state == State.COMPLETE;
  }

  @Override
  public int read(byte[] bytes, int from, int to) throws MalformedResponseException {
    int position = from;
    while (position < to && !isComplete()) {
      switch (state) {
        case LINE_START -> beginLine(bytes[position]);
        case NAME -> position = readName(bytes, position, to);
        case VALUE -> position = readValue(bytes, position, to);
        default -> readLineEnd(bytes[position++]);
      }
    }
    return position;
  }

  private void beginLine(byte first) throws MalformedResponseException {
    check(!Characters.isBlank(first), ResponseRule.FOLD);
    if (lineEnds.isPart(first)) {
      state = State.LAST_LINE_END;
    } else {
      nameLength = 0;
      candidates = (1 << framingFields.size()) - 1;
      state = State.NAME;
    }
  }

  private int readName(byte[] bytes, int from, int to) throws MalformedResponseException {
    int position = from;
    while (position < to && Characters.isToken(bytes[position])) {
      if (candidates != 0) {
        dropCandidates(Characters.toLowerCase(bytes[position]));
      }
      nameLength++;
      position++;
    }
    if (position == to) {
      return position;
    }
    check(bytes[position] == ':' && nameLength > 0, ResponseRule.FIELD_NAME);
    beginValue();
    return position + 1;
  }

  private void dropCandidates(byte next) {
    for (int index = 0; index < framingFields.size(); index++) {
      byte[] name = framingFields.get(index).name();
      if (nameLength >= name.length || name[nameLength] != next) {
        candidates &= ~(1 << index);
      }
    }
  }

  private void beginValue() {
    state = State.VALUE;
    current = null;
    for (int index = 0; index < framingFields.size(); index++) {
      FramingField field = framingFields.get(index);
      if ((candidates & (1 << index)) != 0 && field.name().length == nameLength) {
        current = field;
        field.begin();
      }
    }
  }

  private int readValue(byte[] bytes, int from, int to) throws MalformedResponseException {
    int position = from;
    while (position < to && Characters.isText(bytes[position])) {
      if (current != null) {
        current.accept(bytes[position]);
      }
      position++;
    }
    if (position < to) {
      check(lineEnds.isPart(bytes[position]), ResponseRule.FIELD_VALUE);
      state = State.LINE_END;
    }
    return position;
  }

  private void readLineEnd(byte next) throws MalformedResponseException {
    if (!lineEnds.accept(next)) {
      return;
    }
    if (state == State.LAST_LINE_END) {
      state = State.COMPLETE;
      return;
    }
    if (current != null) {
      current.end();
    }
    state = State.LINE_START;
  }
}
