package org.snipewick.peer;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import java.io.IOException;
import java.time.Duration;

/** Jackson module that maps a {@link Duration} to an integer, its length in nanoseconds. */
final class DurationModule {
  private DurationModule() {}

  /** Returns a new module. */
  static SimpleModule create() {
    return new SimpleModule("duration")
        .addSerializer(new NanosSerializer())
        .addDeserializer(Duration.class, new NanosDeserializer());
  }

  private static final class NanosSerializer extends StdSerializer<Duration> {
    private static final long serialVersionUID = 1L;

    NanosSerializer() {
      super(Duration.class);
    }

    @Override
    public void serialize(Duration value, JsonGenerator generator, SerializerProvider provider)
        throws IOException {
      generator.writeNumber(value.toNanos());
    }
  }

  private static final class NanosDeserializer extends StdDeserializer<Duration> {
    private static final long serialVersionUID = 1L;

    NanosDeserializer() {
      super(Duration.class);
    }

    @Override
    public Duration deserialize(JsonParser parser, DeserializationContext context)
        throws IOException {
      return Duration.ofNanos(parser.getLongValue());
    }
  }
}
