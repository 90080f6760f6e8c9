"""Writing back of bundles that the platform has lost.

A platform that comes back from an older copy has lost the bundles that were accepted
since. The hosts hold the one in force, with its signatures and all of its pieces.
"""

from ..identifiers import StoreEra
from ..manifests import Pieces, Root, decode_root, encode_root, list_sections
from .platform import ObjectKind, PlatformClient, Purpose, Stored

CURRENT_KEY = "current"
# Object with the latest era in which hosts have compared their bundle with the
# platform's.
CONFIRMED_ERA_KEY = "confirmed-era"


async def write_history(platform: PlatformClient, root: Root, purpose: Purpose) -> None:
    """Write an accepted root to the history."""
    await platform.write_repeatedly(
        ObjectKind.HISTORY, str(root.version), encode_root(root), purpose
    )


async def write_back(
    platform: PlatformClient, stored: Stored | None, held: Pieces
) -> None:
    """Write the bundle that this host holds in place of an older one.

    Parameters
    ----------
    platform
        Client of the platform.
    stored
        Object that the platform has; None if it has none.
    held
        Bundle in force at this host, with all of its pieces.

    Raises
    ------
    PlatformConflictError
        If the object was replaced meanwhile.
    """
    pages = set(held.root.pages) - {"-"}
    if stored is not None:
        pages -= set(decode_root(stored.value).pages)
    for page in sorted(pages):
        for digest in (*list_sections(held.texts[page]), page):
            await platform.write_repeatedly(
                ObjectKind.PIECE, digest, held.texts[digest], Purpose.ROLLOUT
            )
    await write_history(platform, held.root, Purpose.ROLLOUT)
    await platform.write(
        ObjectKind.BUNDLE,
        CURRENT_KEY,
        encode_root(held.root),
        Purpose.ROLLOUT,
        stored.version if stored is not None else 0,
    )


async def confirm_era(platform: PlatformClient, era: StoreEra) -> None:
    """Record that the platform has the bundle in force in this era.

    Bundles may be approved again from then on.
    """
    known = await platform.read(ObjectKind.BUNDLE, CONFIRMED_ERA_KEY, Purpose.ROLLOUT)
    if known is None or known.value != str(era):
        await platform.write(
            ObjectKind.BUNDLE, CONFIRMED_ERA_KEY, str(era), Purpose.ROLLOUT
        )
