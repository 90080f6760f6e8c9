"""Programs for developers: demonstration, measurements and slopes."""
