import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {
  private static final int MAX_HEAD_BYTES = 64 * 1024;

  private Http() {}

  /** Start line, header lines and body of a message. */
  static final class Message {
    String startLine = "";
    final List<String[]> headers = new ArrayList<>();
    byte[] body = new byte[0];

    /** Whether the body is complete by its length or by its last chunk. */
    boolean isComplete;

    String header(String name) {
      for (String[] header : headers) {
        if (header[0].equalsIgnoreCase(name)) {
          return header[1];
        }
      }
      return null;
    }

    String method() {
      return startLine.split(" ")[0];
    }

    String target() {
      return startLine.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(startLine.split(" ")[1]);
    }

    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  /** Reads the start line and the headers; returns null if the connection ends before them. */
  static Message readHead(InputStream in) throws IOException {
    Message message = new Message();
    String line = readLine(in, true);
    if (line == null) {
      return null;
    }
    message.startLine = line;
    while (true) {
      line = readLine(in, false);
      if (line.isEmpty()) {
        return message;
      }
      int colon = line.indexOf(':');
      if (colon < 0) {
        throw new IOException("malformed header line: " + line);
      }
      message.headers.add(new String[] {line.substring(0, colon), line.substring(colon + 1).trim()});
    }
  }

  /** Reads the body of a request or of a response; a response may end with its connection. */
  static void readBody(InputStream in, Message message, boolean isResponse) throws IOException {
    String encoding = message.header("Transfer-Encoding");
    String length = message.header("Content-Length");
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try {
      if (encoding != null && encoding.toLowerCase(Locale.ROOT).contains("chunked")) {
        readChunks(in, body);
      } else if (length != null) {
        copy(in, body, Integer.parseInt(length.trim()));
      } else if (isResponse) {
        in.transferTo(body);
      }
      message.isComplete = true;
    } finally {
      message.body = body.toByteArray();
    }
  }

  private static void readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
    while (true) {
      String size = readLine(in, false);
      int length = Integer.parseInt(size.split(";")[0].trim(), 16);
      if (length == 0) {
        while (!readLine(in, false).isEmpty()) {
          // Trailers are not used.
        }
        return;
      }
      copy(in, body, length);
      readLine(in, false);
    }
  }

  private static void copy(InputStream in, ByteArrayOutputStream body, int length)
      throws IOException {
    byte[] buffer = new byte[8192];
    int left = length;
    while (left > 0) {
      int count = in.read(buffer, 0, Math.min(left, buffer.length));
      if (count < 0) {
        throw new EOFException("connection ended inside a body");
      }
      body.write(buffer, 0, count);
      left -= count;
    }
  }

  private static String readLine(InputStream in, boolean mayEnd) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    while (true) {
      int next = in.read();
      if (next < 0) {
        if (mayEnd && line.size() == 0) {
          return null;
        }
        throw new EOFException("connection ended inside a line");
      }
      if (next == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(next);
      if (line.size() > MAX_HEAD_BYTES) {
        throw new IOException("line is too long");
      }
    }
  }

  static InputStream buffered(InputStream in) {
    return new BufferedInputStream(in, 16 * 1024);
  }
}
