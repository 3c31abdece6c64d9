#include "wigeonwalk/entry/item_mirror.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;

namespace {

WatchEvent
Put(const std::string& aKey, std::int64_t aRevision, std::string aValue = "v")
{
  WatchEvent event;
  event.entry.key = aKey;
  event.entry.value = std::move(aValue);
  event.entry.modRevision = aRevision;
  return event;
}

WatchEvent
Removal(const std::string& aKey, std::int64_t aRevision)
{
  WatchEvent event = Put(aKey, aRevision, "");
  event.deleted = true;
  return event;
}

} // namespace

// Guards against a configuration that reverts, or a removed runner that
// reappears, because an older state is reported late.
SCENARIO("the mirror never reverts to an older state")
{
  ItemMirror mirror;
  REQUIRE(mirror.Apply(Put("op", 5, "new")));

  THEN("an older or repeated change is ignored")
  {
    CHECK_FALSE(mirror.Apply(Put("op", 4, "old")));
    CHECK_FALSE(mirror.Apply(Put("op", 5, "new")));
    CHECK_FALSE(mirror.Apply(Removal("op", 3)));
    CHECK(mirror.Find("op")->value == "new");
  }

  THEN("a removed key does not reappear with an older state")
  {
    CHECK(mirror.Apply(Removal("op", 7)));
    CHECK_FALSE(mirror.Apply(Put("op", 6, "late")));
    CHECK(mirror.Find("op") == nullptr);
    CHECK(mirror.Apply(Put("op", 8, "again")));
  }
}

SCENARIO("a listing replaces older items")
{
  ItemMirror mirror;
  mirror.Apply(Put("a", 2));
  mirror.Apply(Put("b", 3));
  mirror.Apply(Put("c", 9));

  WHEN("it does not contain some known keys")
  {
    const std::vector<KeyValueEntry> listing{ Put("a", 2).entry,
                                              Put("d", 6).entry };
    const auto changes = mirror.Replace(listing, 7);

    THEN("keys older than the listing are removed and newer ones kept")
    {
      CHECK(changes.size() == 2);
      CHECK(mirror.Find("a") != nullptr);
      CHECK(mirror.Find("b") == nullptr);
      CHECK(mirror.Find("c") != nullptr);
      CHECK(mirror.Find("d") != nullptr);
      CHECK(mirror.Revision() == 7);
    }
  }
}

SCENARIO("a daemon that is behind catches up from another one")
{
  ItemMirror ahead;
  ahead.Apply(Put("a", 2));
  ahead.Apply(Put("b", 3));
  ahead.Apply(Removal("a", 5));
  ahead.NoteRevision(6);

  THEN("it gets the later changes in order, including removals")
  {
    const auto changes = ahead.ChangesSince(2);
    REQUIRE(changes.has_value());
    REQUIRE(changes->size() == 2);
    CHECK((*changes)[0].entry.key == "b");
    CHECK((*changes)[1].deleted);
    CHECK(ahead.ChangesSince(6)->empty());
  }

  THEN("a full copy is required once tombstones have been dropped")
  {
    const auto count = static_cast<std::int64_t>(ItemMirror::kMaxTombstones);
    for (std::int64_t i = 0; i <= count; ++i) {
      ahead.Apply(Removal("k" + std::to_string(i), 10 + i));
    }
    CHECK_FALSE(ahead.ChangesSince(6).has_value());
    CHECK(ahead.ChangesSince(10 + count).has_value());
    CHECK(ahead.Items().size() == 1);
  }
}

// Guards against a removed runner that others keep, because the daemon that
// they ask has started or read a listing since it was removed.
SCENARIO("a listing does not tell which keys were removed before it")
{
  ItemMirror mirror;

  WHEN("nothing was known before")
  {
    mirror.Replace({ Put("a", 2).entry, Put("c", 7).entry }, 9);

    THEN("a daemon that is behind it needs a full copy")
    {
      CHECK_FALSE(mirror.ChangesSince(2).has_value());
      CHECK_FALSE(mirror.ChangesSince(8).has_value());
      CHECK(mirror.ChangesSince(9)->empty());
    }

    THEN("later changes are told to one that is not")
    {
      mirror.Apply(Removal("a", 11));
      mirror.NoteRevision(11);
      CHECK(mirror.ChangesSince(9)->size() == 1);
      CHECK(mirror.ChangesSince(10)->size() == 1);
    }
  }

  WHEN("changes up to an earlier revision were known")
  {
    mirror.Apply(Put("a", 2));
    mirror.Apply(Put("b", 3));
    mirror.NoteRevision(5);
    mirror.Replace({ Put("a", 2).entry }, 9);

    THEN("a daemon that is not ahead of that gets the removals")
    {
      const auto changes = mirror.ChangesSince(5);
      REQUIRE(changes.has_value());
      REQUIRE(changes->size() == 1);
      CHECK(changes->front().deleted);
    }

    THEN("one that is needs a full copy, as it may know other keys")
    {
      CHECK_FALSE(mirror.ChangesSince(6).has_value());
    }

    THEN("one within an earlier gap needs it after further listings")
    {
      mirror.Replace({ Put("a", 2).entry }, 20);
      CHECK_FALSE(mirror.ChangesSince(6).has_value());
      CHECK_FALSE(mirror.ChangesSince(12).has_value());
      CHECK(mirror.ChangesSince(9).has_value());
      CHECK(mirror.ChangesSince(20).has_value());
    }
  }

  WHEN("the listing is no newer than what was known")
  {
    mirror.Apply(Put("a", 2));
    mirror.NoteRevision(9);
    mirror.Replace({ Put("a", 2).entry }, 9);
    CHECK(mirror.ChangesSince(1).has_value());
  }
}

// Guards against heartbeats that every daemon sends on to the others, and
// against a removed runner whose return is taken for a heartbeat.
SCENARIO("changes of no consequence are not passed on")
{
  ItemMirror mirror;
  mirror.Apply(Put("a", 2));
  mirror.Apply(Put("a", 5));
  mirror.NoteSameContent("a");
  mirror.NoteRevision(6);

  THEN("a daemon that knows the content gets nothing")
  {
    CHECK(mirror.ChangesSince(2)->empty());
    CHECK(mirror.Find("a")->modRevision == 5);
  }

  THEN("a daemon that does not know it gets the newest state")
  {
    const auto changes = mirror.ChangesSince(1);
    REQUIRE(changes->size() == 1);
    CHECK(changes->front().entry.modRevision == 5);
  }

  THEN("a later change of consequence is passed on")
  {
    mirror.Apply(Put("a", 8));
    CHECK(mirror.ChangesSince(5)->size() == 1);
  }

  THEN("the return of a removed item is passed on")
  {
    mirror.Apply(Removal("a", 7));
    mirror.Apply(Put("a", 8));
    mirror.NoteSameContent("a");
    CHECK(mirror.ChangesSince(7)->size() == 1);
  }
}

// Guards against answers to other daemons that exceed their limit on size, as
// items that nobody can read are as large as the registry allows.
SCENARIO("the value of an item that can't be read is not passed on")
{
  constexpr std::size_t kLargestValue = 1'048'576;
  ItemMirror mirror;
  WatchEvent change;
  change.entry.key = "runners/odd";
  change.entry.value = std::string(kLargestValue, 'x');
  change.entry.modRevision = 7;
  REQUIRE(mirror.Apply(change));
  mirror.DropValue("runners/odd");
  mirror.DropValue("runners/unknown");

  const auto changes = mirror.ChangesSince(1);
  REQUIRE(changes.has_value());
  REQUIRE(changes->size() == 1);
  CHECK(changes->front().entry.value.empty());
  CHECK(changes->front().entry.modRevision == 7);
  CHECK(mirror.Items().size() == 1);
  CHECK_FALSE(mirror.Apply(change));
}
