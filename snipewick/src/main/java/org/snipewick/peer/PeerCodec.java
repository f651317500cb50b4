package org.snipewick.peer;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.module.paramnames.ParameterNamesModule;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.InstanceId;

/**
 * Codec for frames in MessagePack. A frame is an array whose first element is the kind, a number. A
 * hello continues with its components. Any other kind continues with those of these elements that
 * it has: the identifier of the call, the name of the message type and the message. A reply without
 * a message has an empty name and no message; a failure reply has the failure in place of name and
 * message. Instances are immutable and may be used by several threads.
 */
public final class PeerCodec {
  private static final int HELLO = 0;
  private static final int SEND = 1;
  private static final int CALL = 2;
  private static final int REPLY = 3;
  private static final int FAILURE_REPLY = 4;
  private static final int PING = 5;
  private static final int PONG = 6;
  private static final String NO_MESSAGE = "";

  private final ObjectMapper mapper;
  private final Map<String, Class<? extends PeerMessage>> typesByName;
  private final Map<Class<?>, String> namesByType;

  private PeerCodec(
      Map<String, Class<? extends PeerMessage>> typesByName, Map<Class<?>, String> namesByType) {
    this.typesByName = Map.copyOf(typesByName);
    this.namesByType = Map.copyOf(namesByType);
    this.mapper =
        new ObjectMapper(new MessagePackFactory())
            .registerModule(new Jdk8Module())
            .registerModule(new ParameterNamesModule())
            .registerModule(DurationModule.create())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
  }

  /**
   * Returns a codec for the given message types.
   *
   * @param types message types by their names in frames, one map per package
   * @return codec of all given types
   * @throws IllegalArgumentException if a name is empty, or a name or a type is registered twice
   */
  @SafeVarargs
  public static PeerCodec ofAll(Map<String, Class<? extends PeerMessage>>... types) {
    Map<String, Class<? extends PeerMessage>> typesByName = new HashMap<>();
    Map<Class<?>, String> namesByType = new HashMap<>();
    for (Map<String, Class<? extends PeerMessage>> map : types) {
      map.forEach(
          (name, type) -> {
            if (name.isEmpty()
                || typesByName.put(name, type) != null
                || namesByType.put(type, name) != null) {
              throw new IllegalArgumentException(
                  "message type is registered twice or has an empty name: " + name);
            }
          });
    }
    return new PeerCodec(typesByName, namesByType);
  }

  /**
   * Encodes a frame, without its length prefix.
   *
   * @param frame frame to encode
   * @return frame as MessagePack
   * @throws FailureException of {@link FailureType#MALFORMED_FRAME} if the message type is not
   *     registered, the message cannot be mapped, or the frame is a {@link Frame.Unsupported}
   */
  public byte[] encode(Frame frame) {
    requireNonNull(frame, "frame");
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator generator = mapper.getFactory().createGenerator(bytes)) {
      generator.writeStartArray();
      write(generator, frame);
      generator.writeEndArray();
    } catch (IOException cause) {
      throw malformed("cannot encode frame: " + cause.getMessage());
    }
    return bytes.toByteArray();
  }

  /**
   * Decodes a frame, without its length prefix.
   *
   * @param bytes frame as MessagePack
   * @return frame; a {@link Frame.Unsupported} if its message type is not registered
   * @throws FailureException of {@link FailureType#MALFORMED_FRAME} if the bytes are not a frame
   */
  public Frame decode(byte[] bytes) {
    try (JsonParser parser = mapper.getFactory().createParser(bytes)) {
      expect(parser.nextToken() == JsonToken.START_ARRAY, "frame is not an array");
      Frame frame = read(parser);
      expect(parser.nextToken() == JsonToken.END_ARRAY, "frame has too many elements");
      return frame;
    } catch (FailureException malformed) {
      throw malformed;
    } catch (IOException | RuntimeException cause) {
      throw malformed("cannot decode frame: " + cause.getMessage());
    }
  }

  private void write(JsonGenerator generator, Frame frame) throws IOException {
    if (frame instanceof Frame.Hello hello) {
      generator.writeNumber(HELLO);
      generator.writeString(hello.from().value());
      generator.writeNumber(hello.incarnation());
      generator.writeString(hello.to().value());
    } else if (frame instanceof Frame.Send send) {
      generator.writeNumber(SEND);
      writeMessage(generator, send.message());
    } else if (frame instanceof Frame.Call call) {
      generator.writeNumber(CALL);
      generator.writeNumber(call.id());
      writeMessage(generator, call.message());
    } else if (frame instanceof Frame.Reply reply) {
      writeReply(generator, reply);
    } else if (frame instanceof Frame.FailureReply failureReply) {
      generator.writeNumber(FAILURE_REPLY);
      generator.writeNumber(failureReply.id());
      mapper.writeValue(generator, failureReply.failure());
    } else if (frame instanceof Frame.Ping) {
      generator.writeNumber(PING);
    } else if (frame instanceof Frame.Pong) {
      generator.writeNumber(PONG);
    } else {
      throw malformed("frame cannot be sent: " + frame);
    }
  }

  private void writeReply(JsonGenerator generator, Frame.Reply reply) throws IOException {
    generator.writeNumber(REPLY);
    generator.writeNumber(reply.id());
    if (reply.message().isPresent()) {
      writeMessage(generator, reply.message().get());
    } else {
      generator.writeString(NO_MESSAGE);
    }
  }

  private void writeMessage(JsonGenerator generator, PeerMessage message) throws IOException {
    String name = namesByType.get(message.getClass());
    expect(name != null, "message type is not registered: " + message.getClass().getName());
    generator.writeString(name);
    mapper.writeValue(generator, message);
  }

  private Frame read(JsonParser parser) throws IOException {
    int kind = (int) nextNumber(parser);
    return switch (kind) {
      case HELLO ->
          new Frame.Hello(
              InstanceId.of(nextText(parser)), nextNumber(parser), InstanceId.of(nextText(parser)));
      case SEND -> readMessage(parser, Optional.empty());
      case CALL -> readMessage(parser, Optional.of(nextNumber(parser)));
      case REPLY -> readReply(parser, nextNumber(parser));
      case FAILURE_REPLY ->
          new Frame.FailureReply(nextNumber(parser), nextValue(parser, Failure.class));
      case PING -> new Frame.Ping();
      case PONG -> new Frame.Pong();
      default -> throw malformed("unknown frame kind " + kind);
    };
  }

  private Frame readMessage(JsonParser parser, Optional<Long> call) throws IOException {
    String name = nextText(parser);
    Class<? extends PeerMessage> type = typesByName.get(name);
    if (type == null) {
      parser.nextToken();
      parser.skipChildren();
      return new Frame.Unsupported(call, name);
    }
    PeerMessage message = nextValue(parser, type);
    return call.isPresent() ? new Frame.Call(call.get(), message) : new Frame.Send(message);
  }

  private Frame readReply(JsonParser parser, long id) throws IOException {
    String name = nextText(parser);
    if (name.equals(NO_MESSAGE)) {
      return new Frame.Reply(id, Optional.empty());
    }
    Class<? extends PeerMessage> type = typesByName.get(name);
    expect(type != null, "reply has unknown message type " + name);
    return new Frame.Reply(id, Optional.of(nextValue(parser, type)));
  }

  private <T> T nextValue(JsonParser parser, Class<T> type) throws IOException {
    expect(parser.nextToken() != null, "message or failure is missing");
    T value = mapper.readValue(parser, type);
    expect(value != null, "message or failure is null");
    return value;
  }

  private static long nextNumber(JsonParser parser) throws IOException {
    expect(parser.nextToken() == JsonToken.VALUE_NUMBER_INT, "frame element is not an integer");
    return parser.getLongValue();
  }

  private static String nextText(JsonParser parser) throws IOException {
    expect(parser.nextToken() == JsonToken.VALUE_STRING, "frame element is not a string");
    return parser.getText();
  }

  private static void expect(boolean condition, String detail) {
    if (!condition) {
      throw malformed(detail);
    }
  }

  private static RuntimeException malformed(String detail) {
    return Failure.notRun(FailureType.MALFORMED_FRAME, detail).toException();
  }
}
