import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON into maps, lists, strings, doubles and booleans. */
final class Json {
  private final String text;
  private int position;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    return new Json(text).value();
  }

  static String quote(String value) {
    return '"' + value.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
  }

  private Object value() {
    skipBlanks();
    char next = text.charAt(position);
    if (next == '{') {
      return object();
    }
    if (next == '[') {
      return array();
    }
    if (next == '"') {
      return string();
    }
    int start = position;
    while (position < text.length() && ",]}\n\r\t ".indexOf(text.charAt(position)) < 0) {
      position++;
    }
    String word = text.substring(start, position);
    return switch (word) {
      case "true" -> true;
      case "false" -> false;
      case "null" -> null;
      default -> Double.parseDouble(word);
    };
  }

  private Map<String, Object> object() {
    Map<String, Object> entries = new LinkedHashMap<>();
    position++;
    skipBlanks();
    while (text.charAt(position) != '}') {
      skipBlanks();
      String name = string();
      skipBlanks();
      position++;
      entries.put(name, value());
      skipComma();
    }
    position++;
    return entries;
  }

  private List<Object> array() {
    List<Object> elements = new ArrayList<>();
    position++;
    skipBlanks();
    while (text.charAt(position) != ']') {
      elements.add(value());
      skipComma();
    }
    position++;
    return elements;
  }

  private String string() {
    StringBuilder content = new StringBuilder();
    position++;
    while (text.charAt(position) != '"') {
      char next = text.charAt(position++);
      if (next == '\\') {
        next = text.charAt(position++);
        switch (next) {
          case 'n' -> next = '\n';
          case 't' -> next = '\t';
          case 'r' -> next = '\r';
          case 'b' -> next = '\b';
          case 'f' -> next = '\f';
          case 'u' -> {
            next = (char) Integer.parseInt(text.substring(position, position + 4), 16);
            position += 4;
          }
          default -> {}
        }
      }
      content.append(next);
    }
    position++;
    return content.toString();
  }

  private void skipComma() {
    skipBlanks();
    if (text.charAt(position) == ',') {
      position++;
      skipBlanks();
    }
  }

  private void skipBlanks() {
    while (position < text.length() && Character.isWhitespace(text.charAt(position))) {
      position++;
    }
  }
}
