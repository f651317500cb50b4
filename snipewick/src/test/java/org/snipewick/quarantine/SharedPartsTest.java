package org.snipewick.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SharedPartsTest {

  @ParameterizedTest
  @CsvSource({
    "'a:1,b:2,c:3', 'a,b'",
    "'a:1', ''",
    "'', ''",
    "',', ''",
    "',,,', ''",
    "'a,b', 'a'",
    "' a :1, a:2,b:3', 'a'",
    "':5,b:1,c:1', 'b'"
  })
  void shouldReturnAllPartsButTheLast(String header, String parts) {
    assertThat(String.join(",", SharedParts.parse(header).ids())).isEqualTo(parts);
  }

  @Property
  void shouldBoundPartsOfAnyHeader(@ForAll String header) {
    SharedParts parts = SharedParts.parse(header);
    assertThat(parts.ids()).hasSizeLessThanOrEqualTo(SharedParts.MAX_PARTS);
    assertThat(parts.ids()).allMatch(part -> part.length() <= SharedParts.MAX_ID_LENGTH);
  }

  /** A row may come from another writer; it is decoded or rejected, whatever it holds. */
  @Property
  void shouldDecodeOrRejectAnyRow(@ForAll byte[] row) {
    try {
      assertThat(EvidenceCodec.decode(row)).isNotNull();
    } catch (IOException | RuntimeException rejected) {
      assertThat(rejected).isNotInstanceOf(NullPointerException.class);
    }
  }
}
