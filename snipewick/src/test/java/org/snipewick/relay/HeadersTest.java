package org.snipewick.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HeadersTest {

  @Test
  void shouldDropHopByHopFieldsAndThoseNamedByConnectionField() {
    Headers headers =
        parse("Connection: close, X-Hop", "X-Hop: 1", "Keep-Alive: 5", "Host: h", "X-A: 1");
    assertThat(headers.withoutHopByHopFields().fields()).containsExactly(Map.entry("X-A", "1"));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 5|Transfer-Encoding: chunked",
        "Content-Length: 5|content-length: 5",
        "Transfer-Encoding: chunked|Transfer-Encoding: identity",
        "Transfer-Encoding: gzip, chunked",
        "Content-Length : 5",
        "X A: 1"
      })
  void shouldReturnFramingErrorWhenBodyLengthIsAmbiguous(String fields) {
    assertThat(parse(fields.split("\\|")).framingError()).isPresent();
  }

  @ParameterizedTest
  @ValueSource(strings = {"Content-Length: 5", "Transfer-Encoding: Chunked", "X-A: 1|X-A: 2"})
  void shouldReturnNoFramingErrorWhenBodyLengthIsUnambiguous(String fields) {
    assertThat(parse(fields.split("\\|")).framingError()).isEmpty();
  }

  private static Headers parse(String... fields) {
    List<Map.Entry<String, String>> entries = new ArrayList<>();
    for (String field : fields) {
      int colon = field.indexOf(':');
      entries.add(Map.entry(field.substring(0, colon), field.substring(colon + 1).trim()));
    }
    return Headers.of(entries);
  }
}
