import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** HTTP/1.1 request or response, as read from a connection. */
final class Message {
  String startLine = "";
  final List<String[]> fields = new ArrayList<>();
  byte[] body = new byte[0];

  /** Reads the start line and the field lines; returns null at the end of the connection. */
  static Message readHead(InputStream input) throws IOException {
    Message message = new Message();
    String line = readLine(input);
    if (line == null) {
      return null;
    }
    message.startLine = line;
    while (true) {
      line = readLine(input);
      if (line == null) {
        throw new EOFException("connection ended inside a head");
      }
      if (line.isEmpty()) {
        return message;
      }
      int colon = line.indexOf(':');
      message.fields.add(
          new String[] {line.substring(0, colon), line.substring(colon + 1).strip()});
    }
  }

  /** Reads a message with its body; returns null at the end of the connection. */
  static Message read(InputStream input) throws IOException {
    Message message = readHead(input);
    if (message != null) {
      message.readBody(input);
    }
    return message;
  }

  private void readBody(InputStream input) throws IOException {
    if ("chunked".equalsIgnoreCase(first("Transfer-Encoding"))) {
      ByteArrayOutputStream content = new ByteArrayOutputStream();
      int size = chunkSize(input);
      while (size > 0) {
        content.writeBytes(readExactly(input, size));
        readLine(input);
        size = chunkSize(input);
      }
      String trailer = readLine(input);
      while (trailer != null && !trailer.isEmpty()) {
        trailer = readLine(input);
      }
      body = content.toByteArray();
    } else if (first("Content-Length") != null) {
      body = readExactly(input, Integer.parseInt(first("Content-Length")));
    }
  }

  private static int chunkSize(InputStream input) throws IOException {
    String line = readLine(input);
    if (line == null) {
      throw new EOFException("connection ended inside a chunked body");
    }
    return Integer.parseInt(line.split(";")[0].strip(), 16);
  }

  private static byte[] readExactly(InputStream input, int size) throws IOException {
    byte[] bytes = input.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException("connection ended inside a body");
    }
    return bytes;
  }

  private static String readLine(InputStream input) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = input.read();
    if (next < 0) {
      return null;
    }
    while (next >= 0 && next != '\n') {
      line.write(next);
      next = input.read();
    }
    String text = line.toString(StandardCharsets.ISO_8859_1);
    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
  }

  /** Returns the first value of a field; null if the field is missing. */
  String first(String name) {
    List<String> values = all(name);
    return values.isEmpty() ? null : values.get(0);
  }

  /** Returns all values of a field, in the order in which they arrived. */
  List<String> all(String name) {
    return fields.stream()
        .filter(field -> field[0].equalsIgnoreCase(name))
        .map(field -> field[1])
        .toList();
  }

  int status() {
    return Integer.parseInt(startLine.split(" ")[1]);
  }

  String method() {
    return startLine.split(" ")[0];
  }

  String target() {
    return startLine.split(" ")[1];
  }
}
