package org.snipewick.store;

import java.util.List;
import org.snipewick.time.Moment;

/** Listener to the rows and changes that a {@link TableMirror} reads; called on one thread only. */
public interface MirrorListener {

  /**
   * Receives all rows of the table, which replace those received before.
   *
   * @param rows each row as of {@code sentAt} or a little later, as several calls may be needed
   * @param sentAt time at which the first call for them was sent; the rows are at least as recent
   */
  void onRows(List<TableRow> rows, Moment sentAt);

  /**
   * Receives changes since the last call. If there are none, the rows received before are still
   * current.
   *
   * @param changes changes in order; may be empty
   * @param sentAt time at which the call for them was sent; the rows are current as of then
   */
  void onChanges(RowChanges.Delta changes, Moment sentAt);

  /**
   * Called when the table can no longer be read; the rows received before remain the latest known.
   */
  default void onUnavailable() {}

  /** Called when the table can be read again. */
  default void onAvailableAgain() {}

  /**
   * Returns a listener that passes everything on to others, in their order.
   *
   * @param listeners listeners; each ignores the rows that are not for it
   * @return listener to one mirror
   */
  static MirrorListener ofAll(List<MirrorListener> listeners) {
    List<MirrorListener> all = List.copyOf(listeners);
    return new MirrorListener() {
      @Override
      public void onRows(List<TableRow> rows, Moment sentAt) {
        all.forEach(listener -> listener.onRows(rows, sentAt));
      }

      @Override
      public void onChanges(RowChanges.Delta changes, Moment sentAt) {
        all.forEach(listener -> listener.onChanges(changes, sentAt));
      }

      @Override
      public void onUnavailable() {
        all.forEach(MirrorListener::onUnavailable);
      }

      @Override
      public void onAvailableAgain() {
        all.forEach(MirrorListener::onAvailableAgain);
      }
    };
  }
}
