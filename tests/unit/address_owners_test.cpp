// Which endpoint an address belongs to.
#include "net/address_owners.h"

#include <catch2/catch.hpp>

using walkpaddle::Address;
using walkpaddle::net::AddressOwners;

namespace {

const Address kFirst{1, 10};
const Address kSecond{2, 10};

struct OwnersFixture {
  OwnersFixture() {
    owners.begin_list();
    owners.update(0, kFirst, true);
    owners.update(1, kSecond, true);
    REQUIRE(owners.end_list().empty());
    owners.begin_list();
  }
  AddressOwners owners;
};

}  // namespace

TEST_CASE("an endpoint whose address another one takes is superseded, once") {
  OwnersFixture s;
  s.owners.update(2, kFirst, true);
  CHECK(s.owners.end_list() == std::vector{0});
  s.owners.begin_list();
  s.owners.update(2, kFirst, true);
  CHECK(s.owners.end_list().empty());
}

TEST_CASE("endpoints that change places in one list keep their new addresses") {
  OwnersFixture s;
  s.owners.update(0, kSecond, true);
  s.owners.update(1, kFirst, true);
  CHECK(s.owners.end_list().empty());
}

TEST_CASE("an endpoint that the list itself tells gone is not superseded, in either order") {
  OwnersFixture s;
  s.owners.update(2, kFirst, true);
  s.owners.update(0, kFirst, false);
  s.owners.update(1, kSecond, false);
  s.owners.update(3, kSecond, true);
  CHECK(s.owners.end_list().empty());
}

TEST_CASE("endpoints that one list names at one address stay, also when one of them changes") {
  AddressOwners owners;
  owners.begin_list();
  owners.update(0, kFirst, true);
  owners.update(1, kFirst, true);
  CHECK(owners.end_list().empty());
  owners.begin_list();
  owners.update(1, kFirst, true);
  CHECK(owners.end_list().empty());
}

TEST_CASE("an endpoint that is gone holds no address") {
  OwnersFixture s;
  s.owners.update(0, kFirst, false);
  CHECK(s.owners.end_list().empty());
  s.owners.begin_list();
  s.owners.update(2, kFirst, true);
  CHECK(s.owners.end_list().empty());
}
